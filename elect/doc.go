// Package elect decides when the primary of a group is replaced and by which replica, so that no acknowledged commit is lost.
// It also decides who may use the coordinator lease, the right to order new primaries. Package coord carries the decisions out.
package elect
