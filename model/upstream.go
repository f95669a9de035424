package model

import (
	"context"
	"time"
)

// UpstreamConn is one connection to an instance; it carries one request at a time.
type UpstreamConn interface {
	// Run returns an *UpstreamError if nothing ran; after any other error it may or may not have run.
	Run(ctx context.Context, run Run) (Result, error)
	// Close closes the connection, which rolls an open transaction back.
	Close(ctx context.Context) error
}

// Upstream is one database instance.
type Upstream interface {
	// Open opens a connection.
	Open(ctx context.Context) (UpstreamConn, error)
	// Find looks up a request by its id.
	Find(ctx context.Context, id RequestID) (Recorded, error)
	// Status returns the state. Before that, it waits for the held position to reach atLeast, for at most wait.
	Status(ctx context.Context, atLeast Position, wait time.Duration) (UpstreamStatus, error)
	// Order changes the role and returns the state after it.
	Order(ctx context.Context, order Order) (UpstreamStatus, error)
}
