// Package term plans how a database group gets a new primary without losing an acknowledged write.
//
// A replacement takes two changes of the view. The first raises the term and names no primary;
// once it is in effect, no write of the old term is acknowledged any more. Then the instances are
// fenced and their logs compared, and the second change names the one whose log reaches furthest.
package term
