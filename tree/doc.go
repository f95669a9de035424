// Package tree parses and checks the settings of the fleet. They form a tree, in which a team or a route inherits each
// value from its parent unless it overrides it. The settings also list the database groups with their instances.
package tree
