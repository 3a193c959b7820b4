// Command heatherport is a layer-4 load balancer whose fleet of balancers
// accepts packets sprayed over all of them.
package main

import (
	"os"

	"heatherport/internal/process/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.Options{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
	}))
}
