package main

import (
	"context"
	"fmt"
	"os"

	"github.com/crocusshore/crocusshore/early"
	"github.com/crocusshore/crocusshore/node"
)

func main() {
	signals := func() node.Signals { return node.Signals{Stop: early.Stop, Reload: early.Reload} }
	if err := node.Command(signals).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "crocusshore:", err)
		os.Exit(1)
	}
}
