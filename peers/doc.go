// Package peers is the exchange between VMs: copies of the store's tables, releases and opinions over HTTP, and demand in datagrams.
package peers
