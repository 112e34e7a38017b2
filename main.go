// Command wisteriacroft is a rollout service for reinforcement learning.
package main

import (
	"os"

	"wisteriacroft/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
