// Command onyxgate is one agent of the front tier, and what operators need beside it. This file owns the command line; it
// must never hold a decision.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"onyxgate/internal/assembly"
	"onyxgate/internal/config"
	"onyxgate/internal/siteconfig"
)

const version = "0.12"

type serve struct {
	Configuration string        `name:"config" env:"NODE_CONFIG" type:"path" required:"" help:"The agent's configuration, JSON."`
	Settings      string        `env:"ONYXGATE_SETTINGS" type:"path" help:"Our own settings, TOML; without it nothing of theirs is on."`
	Name          string        `env:"NODE_NAME" help:"The agent's name, in place of the configuration's."`
	Listen        string        `env:"NODE_LISTEN" help:"Where clients connect, in place of the configuration's."`
	Discovery     string        `env:"NODE_DISCOVERY" help:"Discovery's address, in place of the configuration's."`
	Level         string        `env:"ONYXGATE_LOG" default:"info" enum:"debug,info,warn,error" help:"Least level that is logged."`
	Every         time.Duration `default:"1s" help:"Time between two lines of counts."`
}

type check struct {
	Configuration string `name:"config" env:"NODE_CONFIG" type:"path" help:"The configuration to read."`
	Settings      string `env:"ONYXGATE_SETTINGS" type:"path" help:"Our settings to read; prints what holds, defaults included."`
}

type showVersion struct{}

func main() {
	var line struct {
		Serve   serve       `cmd:"" help:"Serve clients until SIGTERM."`
		Check   check       `cmd:"" help:"Read a configuration, or our settings, and say what is wrong with them."`
		Record  recordLine  `cmd:"" help:"Look after the store of record."`
		Sources sourcesLine `cmd:"" help:"Look at the sources of the fleet."`
		Version showVersion `cmd:"" help:"Print the version."`
	}
	c := kong.Parse(&line, kong.Name("onyxgate"), kong.UsageOnError(),
		kong.Description("A front tier that watches over software updates."))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "onyxgate:", err)
		os.Exit(1)
	}
}

func (showVersion) Run() error {
	fmt.Println("onyxgate", version)
	return nil
}

func (c check) Run() error {
	if c.Configuration == "" && c.Settings == "" {
		return fmt.Errorf("nothing to check: name --config or --settings")
	}
	if c.Settings != "" {
		tables, err := config.Read(c.Settings)
		if err != nil {
			return err
		}
		text, err := config.Format(tables)
		if err != nil {
			return err
		}
		fmt.Print(text)
	}
	if c.Configuration == "" {
		return nil
	}
	config, err := assembly.Read(c.Configuration)
	if err != nil {
		return err
	}
	_, known := siteconfig.Classes(config.Get("settings"))
	fmt.Printf("%s can be used: %d products, %d appliances known\n", c.Configuration, len(known),
		len(config.Get("known.servers").Array()))
	return nil
}

func (s serve) Run() error {
	signals := make(chan os.Signal, 16) // first of all: SIGHUP would else end a program that is not listening yet
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return err
	}
	logrus.SetLevel(level)
	logrus.SetFormatter(&logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true,
		TimestampFormat: "15:04:05.000",
	})
	tables, err := config.Read(s.Settings)
	if err != nil {
		return err
	}
	agent, err := assembly.New(assembly.Options{
		Version: version, ConfigPath: s.Configuration, Name: s.Name, Listen: s.Listen,
		Discovery: s.Discovery, Settings: tables, ReportInterval: s.Every,
	})
	if err != nil {
		return err
	}
	return agent.Run(signals)
}
