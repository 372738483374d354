"""Feature levels: what all controllers begin to do at once, when the last of them has the version that can.

Levels rise; a controller that supports one supports all below it.
"""

#: jobs that depend on others are accepted, kept, and cancelled with those before them
PIPELINES = 1
#: the highest level that this version supports
CURRENT = PIPELINES
