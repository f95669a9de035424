// Package plat is the published HTTP interface of the platform, generated from openapi.yaml.
package plat
