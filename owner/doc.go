// Package owner runs requests on the database instances that this VM owns, which means that the other VMs
// send their requests for these instances through this one. It queues the requests, assigns connections to
// them, and reports for each whether it ran, did not run, or may have run.
package owner
