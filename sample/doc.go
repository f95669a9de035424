// Package sample keeps positions that primaries reported, from which follows how fresh a replica's log has to be.
package sample
