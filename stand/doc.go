// Package stand provides small stand-ins of the platform and of database instances, with faults that can be injected, for the demo, the
// bench, the soak and tests. Platform and Group serve HTTP interfaces, Network simulates the network for HTTP requests, and Rows and
// Cluster implement Go interfaces.
package stand
