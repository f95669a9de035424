package main

import (
	"context"
	"fmt"
	"os"

	"github.com/crocusshore/crocusshore/node"
)

func main() {
	if err := node.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "crocusshore:", err)
		os.Exit(1)
	}
}
