// Package version holds the version of the programs.
package version

// Version is set by the linker; a build without it is a development build.
var Version = "dev"
