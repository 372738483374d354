"""Feature levels: behaviour that controllers enable together once all of them run a version that supports it.

Levels only rise; a controller that supports one also supports all lower ones.
"""

#: jobs with dependencies are accepted, stored, and cancelled together with their dependencies
PIPELINES = 1
#: the highest level that this version supports
CURRENT_LEVEL = PIPELINES
