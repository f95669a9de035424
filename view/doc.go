// Package view implements the view, the replicated configuration of the older daemon (package entry, not package node): one versioned
// document with the settings, callers' keys, primaries of the groups, holders of the quota shards and stewards. Changes are committed one
// at a time to a log in the platform's store.
//
// The package also establishes how recently a VM's version was the newest: through the store or, while the store is unreachable, through
// a majority of the stewards, a small set of VMs that the view names. It also establishes when a committed change is in effect, so that
// no VM acts on an older version any more.
package view
