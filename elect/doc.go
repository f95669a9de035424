// Package elect decides when the primary of a group is replaced and by which replica, so that no acknowledged commit is lost.
package elect
