package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// crowdStream separates the draws of misbehaving clients from those of all others, which stay the same for a seed.
	crowdStream = 7
	// maxCrowdInterval bounds the time between the beginnings of two crowds.
	maxCrowdInterval = 2 * time.Second
	// crowdSize is the number of misbehaving clients of a crowd, all at one VM.
	crowdSize = 12
	// largeBytes is the length of a large message that is legal, and overlongBytes that of one that is not.
	largeBytes, overlongBytes = 900_000, 3 << 20
	// pipelinedStatements is how many statements a client sends without reading an answer.
	pipelinedStatements = 300
	// slowByteInterval is the time between two bytes of a slow client.
	slowByteInterval = 20 * time.Millisecond
)

type (
	// rudeClient is one misbehaving client.
	rudeClient struct {
		site *site
		vm   *process
		conn net.Conn
	}

	// crowdKind is what the clients of a crowd do. An error ends the client, whose connection stays open until the crowd ends.
	crowdKind struct {
		name   string
		behave func(*rudeClient) error
	}
)

var crowdKinds = []crowdKind{
	{"stop in their first message", func(c *rudeClient) error { return c.send("START brow") }},
	{"send an overlong first message", func(c *rudeClient) error { return c.send(strings.Repeat("x", overlongBytes)) }},
	{"send slowly", (*rudeClient).sendSlowly},
	{"stop in a large statement", func(c *rudeClient) error { return c.sendStatements(1, largeBytes, "") }},
	{"send an overlong statement", func(c *rudeClient) error { return c.sendStatements(1, overlongBytes, lineEnd) }},
	{"send a large statement", func(c *rudeClient) error { return c.sendStatements(1, largeBytes, lineEnd) }},
	{"send many statements and read nothing", func(c *rudeClient) error { return c.sendStatements(pipelinedStatements, 1, lineEnd) }},
}

// planCrowds draws crowds of misbehaving clients.
func (i *injector) planCrowds(length time.Duration) []fault {
	return drawSeries(i.random, length, maxCrowdInterval, i.drawCrowd)
}

func (i *injector) drawCrowd() fault {
	vm, kind := i.drawVM(), crowdKinds[i.random.IntN(len(crowdKinds))]
	end := noop
	return fault{
		name: fmt.Sprintf("%d clients of vm-%d %s", crowdSize, vm, kind.name),
		begin: func() {
			ctx, cancel := context.WithCancel(i.site.ctx)
			end = cancel
			for range crowdSize {
				go i.site.misbehave(ctx, i.site.vms[vm], kind)
			}
		},
		end: func() { end() },
	}
}

// misbehave runs a misbehaving client, which never reads, until ctx ends.
func (s *site) misbehave(ctx context.Context, vm *process, kind crowdKind) {
	conn, err := (&net.Dialer{Timeout: answerTimeout}).DialContext(ctx, "tcp", vm.settings.Callers.String())
	if err != nil {
		return // The VM is away.
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	err = kind.behave(&rudeClient{site: s, vm: vm, conn: conn})
	s.config.Log.Debug("misbehaving client", "kind", kind.name, "vm", vm.settings.VM, "error", err)
	<-ctx.Done()
	_ = conn.Close()
}

func (c *rudeClient) send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

func (c *rudeClient) start() string {
	return fmt.Sprintf("START %s %s"+lineEnd, c.site.routes()[1].name, keyBuilders)
}

// sendSlowly sends a first message and a statement byte by byte.
func (c *rudeClient) sendSlowly() error {
	for _, b := range c.start() + c.nextStatement(1) + lineEnd {
		time.Sleep(slowByteInterval)
		if err := c.send(string(b)); err != nil {
			return err
		}
	}
	return nil
}

// sendStatements opens a session and sends reads of items with names of a length, each with an end.
func (c *rudeClient) sendStatements(count, nameBytes int, end string) error {
	if err := c.send(c.start()); err != nil {
		return err
	}
	for range count {
		if err := c.send(c.nextStatement(nameBytes) + end); err != nil {
			return err
		}
	}
	return nil
}

// nextStatement returns a read of an item that nobody wrote, and records it: instances may run it.
func (c *rudeClient) nextStatement(nameBytes int) string {
	id := model.RequestID(fmt.Sprintf("crowd.%d", c.site.lastID.Add(1)))
	text := "READ " + strings.Repeat("x", nameBytes)
	c.site.history.recordSent(id, sentStatement{team: teamBuilders, vm: c.vm.settings.VM, operation: string(id), text: text})
	return "QUERY " + string(id) + " " + text
}
