// Package caller is the HTTP interface for callers, generated from openapi.yaml.
package caller
