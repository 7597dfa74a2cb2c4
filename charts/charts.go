// Package charts embeds the state charts that package chart interprets.
package charts

import "embed"

// Files holds one JSON file for each chart.
//
//go:embed *.json
var Files embed.FS
