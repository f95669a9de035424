// Package policy holds the operators' settings in force: which key belongs to which team, and which route leads where.
package policy
