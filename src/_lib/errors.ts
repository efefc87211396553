/** The errors of this project, all of one family. */
import ModernError from 'modern-errors';

/** Base of every error that this project throws. */
export const MarblehallError = ModernError.subclass('MarblehallError');

/** The program is in a state that must never occur. */
export const InvariantError = MarblehallError.subclass('InvariantError');

/** Bytes on a link are not a batch of known messages. */
export const UnknownMessageError = MarblehallError.subclass('UnknownMessageError');

/** The platform could not be reached, or did not understand. */
export const PlatformError = MarblehallError.subclass('PlatformError');

/** No answer came in time: the connection may carry nothing any more, and others of its age neither. */
export const NoAnswerError = PlatformError.subclass('NoAnswerError');

/** Nobody listens where a connection was to go: nothing was sent. */
export const ConnectionRefusedError = PlatformError.subclass('ConnectionRefusedError');

/** Settings are missing or wrong; the message lists every finding. */
export const SettingsError = MarblehallError.subclass('SettingsError');
