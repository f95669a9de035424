// Package early receives the signals of the process from its initialization on. It depends on little, so that it is initialized before the
// packages that take long. An earlier announcement of new settings is ignored, since the settings are read later; an earlier order to stop ends
// the process.
package early
