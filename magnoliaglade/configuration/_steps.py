"""Steps of a change and of a zone command, for the fault matrix."""

import enum


class ConfigurationStep(enum.Enum):
    """Steps of an accepted change in their order.

    The value is the call point: the called part and what is read or sent.
    """

    READ_BASE = "get:config/current"
    READ_HISTORY = "get:config/history"
    PUBLISH = "put:config/current"
    RECORD = "put:config/history"
    REREAD = "reader:config/current"
    ANNOUNCE = "broadcast:ConfigUpdate"
    FETCH = "peer:ConfigRequest"
    APPLY = "listener:apply"


class ZoneStep(enum.Enum):
    """Steps of a zone's removal and return in their order."""

    SPREAD_REMOVAL = "remove:ZoneIntent"
    RECORD_REMOVAL = "remove:config/commands"
    STORE_REMOVAL = "remove:config/current"
    SPREAD_RETURN = "return:ZoneIntent"
    RECORD_RETURN = "return:config/commands"
    STORE_RETURN = "return:config/current"
