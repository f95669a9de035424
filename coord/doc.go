// Package coord carries out what package elect decides: it claims the coordinator lease, announces the replacement of a primary,
// takes the old primary out of use and promotes a replica. Orders are commands that change the role of a database instance.
package coord
