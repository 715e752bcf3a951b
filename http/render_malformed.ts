/**
 * Renders the response to input that is not valid HTTP.
 *
 * @param status Status code of the response.
 * @returns A complete HTTP message that announces the close of the connection.
 *
 * @example
 * socket.end(renderMalformed(400));
 */
export const renderMalformed = (status: number): string => (
  `HTTP/1.1 ${status} Malformed Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`
);
