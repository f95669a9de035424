// Package evac decides what the evacuation of a failure domain means for its database instances: whether they may take new statements, until
// when a transaction that is open there may go on, and whether a primary there has to be replaced.
package evac
