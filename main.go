// Command crocusshore is a database proxy with session consistency.
package main

import (
	"os"

	"github.com/crocusshore/crocusshore/commands"
)

func main() {
	os.Exit(commands.Run(os.Args))
}
