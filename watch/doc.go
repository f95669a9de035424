// Package watch keeps the tables of the platform's store cached on a VM: settings, instances and the program's own rows. One VM of each
// failure domain reads the store; the others get the tables from it and read the store themselves only when their cached tables get stale.
package watch
