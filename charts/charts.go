// Package charts embeds the state charts that package chart interprets.
package charts

import "embed"

// Files holds one JSON file per chart, named after it.
//
//go:embed *.json
var Files embed.FS
