// Package config reads the local settings of one entry VM and its TLS certificates.
package config
