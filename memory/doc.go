// Package memory decides what a process may hold for its clients: how many connections, and how many bytes of messages, answers, session values
// and messages between VMs. It decides who is refused or closed first; it neither reads nor writes.
package memory
