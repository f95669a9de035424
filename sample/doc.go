// Package sample keeps log positions of primaries over time, which determine up to where the log of a replica must reach to serve a read
// with a bounded staleness.
package sample
