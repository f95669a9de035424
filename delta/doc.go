// Package delta encodes large values for transfer between VMs: as the difference from an earlier version that the receiver holds, or
// compressed as a whole. Both encodings carry checksums, so that a wrong base or a corrupted encoding is detected.
package delta
