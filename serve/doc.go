// Package serve answers callers: it runs their statements on instances and is responsible for what they are told.
package serve
