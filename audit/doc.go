// Package audit checks a version of the operators' settings before it is stored, and compares it with the version in effect. Its functions only
// decide; package platform reads the settings and names their fields as the operators know them.
package audit
