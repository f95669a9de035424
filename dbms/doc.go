// Package dbms is the published HTTP interface of a database instance, generated from openapi.yaml.
package dbms
