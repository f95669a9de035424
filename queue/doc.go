// Package queue orders waiting requests fairly between teams and by the priority class of their routes, and limits how many requests run
// at once on an instance.
package queue
