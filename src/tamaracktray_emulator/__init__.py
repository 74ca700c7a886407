"""Stand-ins for the systems around tamaracktray, and load generators for them.

The daemon doesn't use this package. The stand-ins implement the parts of the published
protocols that tamaracktray uses, and can inject faults.
"""
