package main

import (
	"fmt"

	adapter "bronzedoor.dev/bronzedoor/platform"
)

// settingsCmd validates a settings file of the platform. With a second file, it shows
// what a daemon that runs with the first one does when it reads the second one.
type settingsCmd struct {
	File string `arg:"" help:"Settings file of the platform."`
	Next string `arg:"" optional:"" help:"Later version of the file."`
}

// An invalidSettingsError says why a settings file is not valid, or not a later version
// of another one.
type invalidSettingsError struct {
	err error
}

func (e *invalidSettingsError) Error() string {
	return e.err.Error()
}

// Run prints one line for each setting that differs.
func (c *settingsCmd) Run(con *console) error {
	if c.Next == "" {
		if err := adapter.CheckSettings(c.File); err != nil {
			return &invalidSettingsError{err}
		}
		fmt.Fprintf(con.out, "%s: ok\n", c.File)
		return nil
	}
	changes, err := adapter.CompareSettings(c.File, c.Next)
	if err != nil {
		return &invalidSettingsError{err}
	}
	for _, ch := range changes {
		effect := "reload "
		if ch.Restart {
			effect = "restart"
		}
		fmt.Fprintf(con.out, "%s  %s\n", effect, ch)
	}
	fmt.Fprintf(con.out, "%d settings differ\n", len(changes))
	return nil
}
