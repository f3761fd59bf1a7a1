package main

import (
	"errors"
	"fmt"

	"onyxgate/internal/assembly"
	"onyxgate/internal/config"
	"onyxgate/internal/siteconfig"
)

// checkCommand validates a configuration or a settings file in the same way as serve.
type checkCommand struct {
	Configuration string `name:"config" env:"NODE_CONFIG" type:"path" help:"The configuration to check."`
	Settings      string `env:"ONYXGATE_SETTINGS" type:"path" help:"The settings to check; prints the effective settings, defaults included."`
}

func (c checkCommand) Run() error {
	if c.Configuration == "" && c.Settings == "" {
		return errors.New("nothing to check: use --config or --settings")
	}
	if c.Settings != "" {
		if err := showSettings(c.Settings); err != nil {
			return err
		}
	}
	if c.Configuration == "" {
		return nil
	}
	return checkConfiguration(c.Configuration)
}

func showSettings(path string) error {
	settings, err := config.Read(path)
	if err != nil {
		return err
	}
	text, err := config.Format(settings)
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}

func checkConfiguration(path string) error {
	configuration, err := assembly.Read(path)
	if err != nil {
		return err
	}
	_, classes := siteconfig.Classes(configuration.Get("settings"))
	backends := configuration.Get("known.servers").Array()
	fmt.Printf("%s is valid: %d products, %d known appliances\n", path, len(classes), len(backends))
	return nil
}
