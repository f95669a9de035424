// Package peers is the communication between VMs. Over HTTP they exchange tables of the store, releases of primaries and opinions on
// whether a primary is reachable; in datagrams they exchange admission decisions, demand and tokens of the teams' rate limits.
package peers
