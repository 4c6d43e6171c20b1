package configcheck

import (
	"fmt"

	"hickoryrock/platform"
)

// checkText reports what only the text shows, and why routers reject the configuration.
func (c *checker) checkText() {
	explained := false
	for _, i := range c.Irregularities {
		severity := SeverityWarning
		switch i.Kind {
		case platform.IrregularSyntax, platform.IrregularType:
			severity, explained = SeverityError, true
		case platform.IrregularEncoding, platform.IrregularDuplicate, platform.IrregularSpelling:
			severity = SeverityError
		}
		c.add(severity, string(i.Kind), i.Place, i.Detail)
	}
	if c.Rejection != nil && !explained {
		c.add(SeverityError, "rejected", c.Place("", ""), fmt.Sprintf("routers reject the configuration: %v", c.Rejection))
	}
}

// checkVersion reports a version that routers never apply.
func (c *checker) checkVersion() {
	version, place := c.Configuration.Version, c.Place("", platform.FieldVersion)
	if version <= 0 {
		c.add(SeverityWarning, "no-version", place, fmt.Sprintf(
			"version %d: routers that have a configuration never apply it; versions start at 1", version))
	}
	if c.opts.Earlier == nil || version > c.opts.Earlier.Configuration.Version {
		return
	}
	if len(Compare(c.opts.Earlier, c.ConfigurationDocument)) > 0 {
		c.add(SeverityWarning, "version-not-higher", place, fmt.Sprintf(
			"version %d: routers with version %d never apply the differences from it", version, c.opts.Earlier.Configuration.Version))
	}
}
