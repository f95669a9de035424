// Package load sends a workload to entries and checks the answers. Its sessions move between entries, append lines under a key of
// their own and read them back; every read is checked against the outcomes that the session received for its writes.
package load
