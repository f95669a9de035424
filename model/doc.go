// Package model holds the names, outcomes, errors and interfaces that the other packages share: callers, teams, database instances and the
// platform's services.
package model
