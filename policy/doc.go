// Package policy holds the operators' settings in effect: the database groups, the routes from database names to groups, and the teams
// with their keys and rates.
package policy
