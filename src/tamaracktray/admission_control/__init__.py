"""Admission of calls by urgency while an entry's endpoints have too few slots."""

from tamaracktray.admission_control.control import AdmissionControl

__all__ = ["AdmissionControl"]
