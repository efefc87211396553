/** Error classes of this project. */
import ModernError from 'modern-errors';

/** Base class of all errors of this project. */
export const MarblehallError = ModernError.subclass('MarblehallError');

/** An invariant of the program does not hold. */
export const InvariantError = MarblehallError.subclass('InvariantError');

/** Received bytes are not a valid batch of known messages. */
export const UnknownMessageError = MarblehallError.subclass('UnknownMessageError');

/** A call to the platform failed or was rejected. */
export const PlatformError = MarblehallError.subclass('PlatformError');

/** A call timed out: the connection, and others opened at about the same time, may be dead. */
export const NoAnswerError = PlatformError.subclass('NoAnswerError');

/** The connection was refused, so nothing was sent. */
export const ConnectionRefusedError = PlatformError.subclass('ConnectionRefusedError');

/** Settings are missing or invalid; the message lists the findings. */
export const SettingsError = MarblehallError.subclass('SettingsError');
