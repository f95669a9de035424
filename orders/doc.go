// Package orders carries out what elect decides: it claims the duty, announces a new primary, fences the old one and promotes.
package orders
