// Package admin is the HTTP interface for operators, generated from openapi.yaml.
package admin
