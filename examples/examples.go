// Package examples embeds the settings and profiles of both example deployments,
// so that the program can run them without a checkout of the repository.
package examples

import "embed"

// Files has a directory for each deployment.
//
//go:embed baitursynov hathercote
var Files embed.FS
