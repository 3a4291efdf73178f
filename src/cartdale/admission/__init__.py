"""Admission: who goes next over all instances while room is short."""
