// Package examples embeds the configurations of the example deployments.
package examples

import (
	"embed"
	"fmt"
)

//go:embed zarqa/text.ini new_england/text.ini
var files embed.FS

// Config returns the configuration of the named example deployment.
func Config(deployment string) (string, error) {
	data, err := files.ReadFile(deployment + "/text.ini")
	if err != nil {
		return "", fmt.Errorf("no example deployment %q: %w", deployment, err)
	}
	return string(data), nil
}
