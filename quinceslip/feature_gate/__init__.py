"""What all controllers begin to do at once, when the last of them has the version that can."""

#: jobs that wait for others are taken, kept and ended with those before them
PIPELINES = 1
#: the highest level that this version supports
CURRENT = PIPELINES
