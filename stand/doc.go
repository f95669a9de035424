// Package stand provides small stand-ins of the platform and of database instances, with faults that can be injected, for the demo, the
// bench, the soak and tests. Platform, Group and Network stand in behind HTTP interfaces; Rows and Cluster do so behind Go interfaces.
package stand
