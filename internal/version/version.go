// Package version holds the version of the lagoonmux programs.
package version

// Version is set by the linker flag -X. "dev" is a development build.
var Version = "dev"
